/** Catalogue of errors and the error class that refers to it. */
export * from './catalogue.js';
export * from './fault.js';
