//! Tests of the final answers.

use rstest::rstest;

use super::{FinalAnswer, NotRunCause, RunState};
use crate::clock::SpanMillis;

const RETRY_AFTER: SpanMillis = SpanMillis::new(1_200);

#[rstest]
#[case(FinalAnswer::NotRun { cause: NotRunCause::QueueFull, retry_after: RETRY_AFTER }, 503, true)]
#[case(FinalAnswer::DeadlinePassed { state: RunState::NotRun }, 504, true)]
#[case(FinalAnswer::DeadlinePassed { state: RunState::Unknown }, 504, false)]
#[case(FinalAnswer::StillRunning { retry_after: RETRY_AFTER }, 409, false)]
#[case(FinalAnswer::TicketNeeded, 428, true)]
#[case(FinalAnswer::TicketMismatch, 422, true)]
#[case(FinalAnswer::AnswerNotKept, 410, false)]
#[case(FinalAnswer::OutcomeUnknown, 502, false)]
#[case(FinalAnswer::BadRequest { detail: "x" }, 400, true)]
fn each_answer_has_its_status_and_run_state(
    #[case] answer: FinalAnswer,
    #[case] status: u16,
    #[case] not_run: bool,
) {
    assert_eq!(answer.status().as_u16(), status);
    let problem = answer.problem();
    assert_eq!(problem.status, status);
    assert_eq!(problem.not_run, not_run);
}

#[test]
fn retry_after_is_whole_seconds_in_the_header_and_exact_in_the_body() {
    let answer = FinalAnswer::StillRunning {
        retry_after: RETRY_AFTER,
    };
    assert_eq!(answer.retry_after_seconds(), Some(2));
    assert_eq!(answer.problem().retry_after_millis, Some(1_200));
}
