"""Stand-ins, benchmarks, demonstration, soak test and build of the executable; not shipped."""
