/** The rules that every run has to keep, and the listener by which runs report their events to them. */
package frostreel.lab.rules;
