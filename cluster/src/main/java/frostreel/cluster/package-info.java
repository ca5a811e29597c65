/**
 * Cluster membership of a pooler: the present members, messages among them, and a log whose entries are agreed by a
 * majority of the configured members. The interfaces do not depend on a library; {@code frostreel.cluster.jgroups}
 * implements them over TCP, and the lab implements them in virtual time.
 *
 * <p>Each interface is called on its owner's thread, on which its listeners are also notified; no call blocks.
 * Depends on no other package of the program.
 */
package frostreel.cluster;
