/** Prompt parts that crash the engines which answer requests with them, and how they are found. */
package org.bulrushpier.poison;
