/**
 * Routing across zones: detects that replicas of a zone have failed, bounds what spills over to other zones,
 * and ramps recovered replicas up. Pure decisions: time and randomness are passed in.
 */
package frostreel.zones;
