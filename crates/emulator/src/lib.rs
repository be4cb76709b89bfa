//! Stand-ins for engines, application back ends, the platform list and the weight store.
