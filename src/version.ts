/** Version of the program, as in package.json. */
export const PROGRAM_VERSION = '0.1.0';
