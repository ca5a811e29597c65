/** How results are shown: tables, charts and the verdict on the checks of a run. */
package frostreel.lab.report;
