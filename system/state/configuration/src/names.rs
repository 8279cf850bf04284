//! Names that the operator gives. None is empty in a [`crate::Configuration`].

millrudder_names::text_types! {
    /// Name of a route.
    pub struct RouteName;

    /// Name of a service, such as the platform's list uses it for workers.
    pub struct ServiceName;
}
