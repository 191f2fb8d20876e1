mod first_starts;
mod forgotten_answers;
mod formation_simulator;
mod odd_messages;
mod random_schedules;
mod simulated_messages;
mod site_shape;
