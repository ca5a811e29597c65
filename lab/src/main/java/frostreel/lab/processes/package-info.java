/**
 * Experiments with real processes of the program: a fleet between stand-ins, relays that inject network
 * faults, a load generator, upgrades, and recorders that check what goes over the wire.
 */
package frostreel.lab.processes;
