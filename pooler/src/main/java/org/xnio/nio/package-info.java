/**
 * Our additions to XNIO's own package, as they need members of XNIO that are package-private: accepting from any open
 * listening socket, and retrying at once after a failed accept. To be checked at each update of XNIO.
 */
package org.xnio.nio;
