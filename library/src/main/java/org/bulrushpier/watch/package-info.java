/** Watches of the metadata store that instances make for each other. */
package org.bulrushpier.watch;
