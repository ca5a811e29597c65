/**
 * This process as a member of the cluster, where the operators' file names one: owns the membership, logs its
 * changes, and writes the page {@code SHOW fleet}.
 *
 * <p>Confined to the I/O thread, to which the cluster's own threads hand their events. Depends on {@code
 * frostreel.cluster}. Nothing that is served depends on what is known here.
 */
package frostreel.membership;
