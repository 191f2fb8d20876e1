mod diff;
mod report;
