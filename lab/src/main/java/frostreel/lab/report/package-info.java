/** Tables and charts of results. */
package frostreel.lab.report;
