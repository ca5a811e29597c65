/** The lab's command line: one class for each command, and what they share. */
package frostreel.lab.cli;
