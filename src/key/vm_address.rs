use std::net::Ipv4Addr;

/// Returns whether a VM can have this address.
pub(crate) fn is_vm_address(address: Ipv4Addr) -> bool {
    !(address.is_unspecified() || address.is_multicast() || address.is_broadcast())
}
