//! Load generator, experiment runner and scale experiment.
