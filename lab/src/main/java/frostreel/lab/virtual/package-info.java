/**
 * The simulation: the program's own broker and decisions over the model, in virtual time and without sockets.
 * Equal plans give equal runs.
 */
package frostreel.lab.virtual;
