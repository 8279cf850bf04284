//! Names of machines, zones and regions. None is empty after [`crate::Settings::parse`].

millrudder_names::text_types! {
    /// A machine, such as `edge-pasig-hall-1`; unique in a deployment, kept when the machine is replaced.
    pub struct NodeName;

    /// A zone: machines in one zone are close to each other and may fail together.
    pub struct Zone;

    /// A region: a group of zones.
    pub struct Region;
}
