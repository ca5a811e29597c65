/** Experiments in virtual time: read from XML, played by policy and seed, judged and written to files. */
package frostreel.lab.experiment;
