/**
 * Experiments with real processes of the program. A {@code Fleet} runs poolers between stand-ins for their
 * servers, discovery agents and clients; relays on all connections inject network faults, and recorders check the
 * rules of the protocol on what the relays carry. A {@code ProcessExperiment} states the fleet, its faults and its
 * checks.
 */
package frostreel.lab.processes;
