/**
 * This process as a member of the cluster, where the operators' file names one: its log lines and the page
 * SHOW fleet.
 */
package frostreel.fleet;
