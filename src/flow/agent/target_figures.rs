/// What an agent has measured of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct TargetFigures {
    /// Requests that the target can answer in a second with all slots busy, in
    /// tenths; zero until measured.
    pub(crate) speed: u32,
    /// Share of the recent requests that the target reset or left without an
    /// answer, in thousandths.
    pub(crate) failures: u16,
    /// The most requests in flight while the pace of the target is being found,
    /// `None` while the usual limit holds.
    pub(crate) pace_window: Option<usize>,
}
