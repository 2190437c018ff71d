// Source file of the library that builds the precompiled header of the test programs.
