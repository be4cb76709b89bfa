//! Admission, limits, queueing, engine choice, retries, batch ownership and preemption.
