/**
 * Additions to XNIO that need its package-private members, and therefore live in its package: accepting on a
 * listening socket that is already open, and ending the backoff after a failed accept. They have to be checked at each
 * update of XNIO.
 */
package org.xnio.nio;
