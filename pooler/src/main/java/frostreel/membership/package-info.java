/**
 * This process as a member of the cluster, if the operators' file configures one: owns the membership, logs its
 * changes, and provides the page {@code SHOW fleet}.
 *
 * <p>Confined to the I/O thread, to which the threads of the cluster pass their events. Depends on {@code
 * frostreel.cluster}. Serving does not depend on this package.
 */
package frostreel.membership;
