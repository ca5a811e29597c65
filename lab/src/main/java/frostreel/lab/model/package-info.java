/**
 * The model of a pooler's environment: database servers with their logs, replica groups spread over zones, the
 * network between zones, and virtual time. It knows no pooler, and runs on one thread. Times are Unix
 * microseconds.
 */
package frostreel.lab.model;
