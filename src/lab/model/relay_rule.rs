use serde::Serialize;

/// What a target does with a request while its own slots are full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RelayRule {
    /// It waits at the target of its connection.
    Never,
    /// It is sent to the shorter queue of its own and two probed ones.
    ShorterOfTwo,
    /// It waits at home, with claims at some peers; the first free slot runs it.
    LateClaims {
        /// The number of targets where it waits, its own included.
        targets: u8,
        /// Whether peers of its own failure domain come first.
        near: bool,
    },
    /// It waits at home until an idle peer asks for work.
    Stealing,
    /// One queue before all slots, reached at no cost: the bound.
    CentralQueue,
}

impl RelayRule {
    /// Tells whether a service with so many targets tells it from other rules.
    pub(crate) const fn fits(self, count: usize) -> bool {
        match self {
            Self::LateClaims { targets, near } => targets as usize <= count && (!near || count > 3),
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
                near: false,
            } => format!("late-bound claims at {targets}"),
            Self::LateClaims {
                targets,
                near: true,
            } => {
                format!("late-bound claims at {targets}, own domain first")
            }
            Self::Stealing => "stealing".to_owned(),
            Self::CentralQueue => "central queue (bound)".to_owned(),
        }
    }
}
