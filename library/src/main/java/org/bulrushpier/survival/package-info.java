/** Answers that go on at another replica, from a copy of their run, when their replica is lost. */
package org.bulrushpier.survival;
