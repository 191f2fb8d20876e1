use crate::{
    control::api::{AnnounceFault, AnnounceRequest, CallRefusal},
    key::DomainName,
};

/// The longest name of a region or failure domain.
const MOST_DOMAIN_BYTES: usize = 64;

/// Verifies an announcement before it is proposed.
pub(super) fn check_announce(request: &AnnounceRequest) -> Result<(), CallRefusal> {
    let address = request.target.address();
    let fault = if request.weight == 0 {
        AnnounceFault::ZeroWeight
    } else if !is_bounded(&request.domain) {
        AnnounceFault::DomainLength
    } else if address.port() == 0 || address.ip().is_unspecified() {
        AnnounceFault::Address
    } else {
        return Ok(());
    };
    Err(CallRefusal::InvalidAnnouncement { fault })
}

fn is_bounded(domain: &DomainName) -> bool {
    let names = [&domain.region, &domain.failure_domain];
    names
        .iter()
        .all(|name| (1..=MOST_DOMAIN_BYTES).contains(&name.len()))
}
