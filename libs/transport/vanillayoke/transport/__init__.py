"""HTTP/1.1 connections on both sides, and datagrams."""
