mod first_starts;
mod formation_simulator;
mod odd_messages;
mod random_schedules;
