//! Which machines serve, merged from the platform list, reports and probes.
