/**
 * Cluster membership of a pooler: who is present, messages among members, and a log on whose entries a majority
 * of the configured members agrees. These interfaces name no library; {@code frostreel.cluster.jgroups}
 * implements them over TCP, and the lab in virtual time.
 *
 * <p>Every interface is called on the thread of its owner, on which its listeners are notified too; no call
 * blocks. Depends on no other package of the program.
 */
package frostreel.cluster;
