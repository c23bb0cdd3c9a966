/** The instances of a site: who is running, and the load that each of them puts on upstreams. */
package org.bulrushpier.fleet;
