/** The one catalogue of errors and the class that carries them. */
export * from './catalogue.js';
export * from './fault.js';
