/**
 * Routing across zones: detects that the replicas of a zone have failed, limits the load that spills over to other
 * zones, and ramps up replicas that recover. Deterministic and without I/O: time and randomness are passed in.
 */
package frostreel.zones;
