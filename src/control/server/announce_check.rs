use crate::{
    control::api::{AnnounceFault, AnnounceRequest, CallRefusal},
    key::FailureDomain,
};

/// The maximum length of a region's or failure domain's name.
const MAX_DOMAIN_BYTES: usize = 64;

/// Validates an announcement before it is proposed to the group.
pub(super) fn check_announce(request: &AnnounceRequest) -> Result<(), CallRefusal> {
    let address = request.target.address();
    let fault = if request.weight == 0 {
        AnnounceFault::ZeroWeight
    } else if !has_valid_length(&request.domain) {
        AnnounceFault::DomainLength
    } else if address.port() == 0 || address.ip().is_unspecified() {
        AnnounceFault::Address
    } else {
        return Ok(());
    };
    Err(CallRefusal::InvalidAnnouncement { fault })
}

fn has_valid_length(domain: &FailureDomain) -> bool {
    let names = [&domain.region, &domain.failure_domain];
    names
        .iter()
        .all(|name| (1..=MAX_DOMAIN_BYTES).contains(&name.len()))
}
