/**
 * The simulation: the program's own broker and decisions over the model, in virtual time and without sockets.
 * Deterministic: equal plans give equal runs, so the order of random draws and of scheduled events is part of
 * the behavior.
 */
package frostreel.lab.virtual;
