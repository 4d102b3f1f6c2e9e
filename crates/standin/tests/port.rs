//! Ports that are kept for processes.

use std::net::{IpAddr, Ipv4Addr, TcpListener, TcpStream};

use cottoncrank_standin::port::Port;

const IP: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 1, 0, 1));

/// Guards against a port that is still in use when its process starts.
#[test]
fn a_port_that_is_kept_may_be_taken_by_its_process() {
    let port = Port::find(IP).unwrap();
    assert!(TcpStream::connect(port.address).is_err(), "something listens there");
    for _life in 0..3 {
        let listener = TcpListener::bind(port.address).unwrap();
        TcpStream::connect(port.address).unwrap();
        drop(listener);
    }
}

#[test]
fn a_port_that_is_kept_is_found_by_nobody_else() {
    let ports: Vec<Port> = (0..200).map(|_| Port::find(IP).unwrap()).collect();
    let mut addresses: Vec<_> = ports.iter().map(|port| port.address).collect();
    addresses.sort_unstable();
    addresses.dedup();
    assert_eq!(addresses.len(), ports.len());
}
