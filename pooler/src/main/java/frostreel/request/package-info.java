/**
 * What the sides of a pooler tell each other of a request: a front end submits one with its attributes and its payload,
 * and handles its response; a back end carries its attempts to servers. No side depends on another one for it.
 */
package frostreel.request;
