//! Unit tests of `descriptor`.

use super::*;
use std::os::fd::AsRawFd;

#[test]
fn only_a_listening_socket_is_accepted() {
    for number in ["", "x", "-1", "0", "2", "99999"] {
        assert!(inherited_listener(number).is_err(), "{number}");
    }
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connected = std::net::TcpStream::connect(address).unwrap();
    let error = inherited_listener(&connected.as_raw_fd().to_string()).unwrap_err();
    assert!(error.to_string().contains("not a listening socket"));
    let taken = inherited_listener(&listener.into_raw_fd().to_string()).unwrap();
    assert_eq!(taken.local_addr().unwrap(), address);
}
