//! Unit tests of `operator_order`.

use super::*;

#[test]
fn an_order_is_carried_out_once_or_never() {
    let (asked, awaited) = OrderHandle::new(Order::Disable("s-1".to_owned()));
    assert_eq!(awaited.result(), None);
    asked.carry_out(|order| match order {
        Order::Disable(id) if id == "s-1" => Err("seen"),
        _ => Ok(()),
    });
    assert_eq!((awaited.result(), awaited.give_up()), (Some(Err("seen")), Some(Err("seen"))));
    // Told "fail" and carried out all the same, a ban would stand that nobody knows of.
    let (asked, awaited) = OrderHandle::new(Order::Enable("s-1".to_owned()));
    assert_eq!(awaited.give_up(), None);
    asked.carry_out(|_| panic!("given up"));
}
