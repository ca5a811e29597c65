/**
 * The rules that every run has to keep, in virtual time and with processes alike. Runs report their events to a
 * {@link frostreel.lab.rules.RunListener}; the {@link frostreel.lab.rules.InvariantChecker} passes them to every
 * rule.
 */
package frostreel.lab.rules;
