/**
 * The model of what poolers speak to: database servers with their logs, replica groups over zones, the
 * network between zones, and virtual time. It knows no pooler.
 */
package frostreel.lab.model;
