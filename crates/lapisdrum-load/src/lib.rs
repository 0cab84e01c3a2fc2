//! Load driver and experiments over the stand-ins: prints its tables and writes them as JSON.
