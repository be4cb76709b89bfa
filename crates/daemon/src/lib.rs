//! The molespand daemon: gateway and replica roles composed.
