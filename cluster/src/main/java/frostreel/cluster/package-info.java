/**
 * Cluster membership of a pooler: who is present, messages among members, and a log on whose entries a
 * majority agrees. These interfaces name no library; {@code frostreel.cluster.jgroups} implements them over
 * TCP, and the lab in virtual time.
 */
package frostreel.cluster;
