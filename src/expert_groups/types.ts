import {z} from 'zod';

/** Number of an expert map of one group; 0 is the map it started with. */
export const mapVersion = z.int().nonnegative();
/** Number that a group's coordinator has above all earlier ones. */
export const term = z.int().nonnegative();
