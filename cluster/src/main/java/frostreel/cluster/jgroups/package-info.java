/**
 * Membership by JGroups and a replicated log by jgroups-raft, over TCP. No other package depends on these
 * libraries.
 */
package frostreel.cluster.jgroups;
