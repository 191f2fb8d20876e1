use serde::Serialize;

/// Where a request waits while the slots of its home target are full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RelayRule {
    /// It waits at its home target.
    Never,
    /// It is sent to the shortest of the home queue and two probed queues.
    ShorterOfTwo,
    /// It waits at home, with claims at peers; it is bound late, to the first free slot.
    LateClaims {
        /// The number of targets where it waits, including its home.
        targets: u8,
        /// Whether peers in the failure domain of its home are preferred.
        #[serde(rename = "near")]
        own_domain_first: bool,
    },
    /// It waits at home until an idle peer asks for work.
    Stealing,
    /// It waits in one queue for all slots without message delays: the best case.
    CentralQueue,
}

impl RelayRule {
    /// Returns whether the rule differs from the others for a service with `count` targets.
    pub(crate) const fn is_distinct_for(self, count: usize) -> bool {
        match self {
            Self::LateClaims {
                targets,
                own_domain_first,
            } => targets as usize <= count && (!own_domain_first || count > 3),
            Self::Never | Self::ShorterOfTwo | Self::Stealing | Self::CentralQueue => true,
        }
    }

    /// Returns the short name used in tables.
    pub(crate) fn label(self) -> String {
        match self {
            Self::Never => "none".to_owned(),
            Self::ShorterOfTwo => "shorter of two".to_owned(),
            Self::LateClaims {
                targets,
                own_domain_first: false,
            } => format!("late-bound claims at {targets}"),
            Self::LateClaims {
                targets,
                own_domain_first: true,
            } => {
                format!("late-bound claims at {targets}, own domain first")
            }
            Self::Stealing => "stealing".to_owned(),
            Self::CentralQueue => "central queue (bound)".to_owned(),
        }
    }
}
