//! Unit tests of `operator_order`.

use super::*;

#[test]
fn an_order_is_carried_out_once_or_never() {
    let (pending, handle) = OrderHandle::new(Order::Disable("s-1".to_owned()));
    assert_eq!(handle.result(), None);
    pending.carry_out(|order| match order {
        Order::Disable(id) if id == "s-1" => Err("seen"),
        _ => Ok(()),
    });
    assert_eq!((handle.result(), handle.give_up()), (Some(Err("seen")), Some(Err("seen"))));
    // The caller has been told "fail": an order carried out after that would leave a ban that nobody knows of.
    let (pending, handle) = OrderHandle::new(Order::Enable("s-1".to_owned()));
    assert_eq!(handle.give_up(), None);
    pending.carry_out(|_| panic!("the order was given up"));
}
